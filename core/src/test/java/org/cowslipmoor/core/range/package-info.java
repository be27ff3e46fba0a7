/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.core.range;

import org.jspecify.annotations.NullUnmarked;
