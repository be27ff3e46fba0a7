/** A simulation of the limits on requests to cold targets. */
@NullMarked
package org.cowslipmoor.testing.coldstart;

import org.jspecify.annotations.NullMarked;
