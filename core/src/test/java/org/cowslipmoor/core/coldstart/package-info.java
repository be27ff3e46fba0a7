/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.core.coldstart;

import org.jspecify.annotations.NullUnmarked;
