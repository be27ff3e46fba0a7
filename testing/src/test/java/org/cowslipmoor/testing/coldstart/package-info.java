/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.testing.coldstart;

import org.jspecify.annotations.NullUnmarked;
