/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.core.fleet;

import org.jspecify.annotations.NullUnmarked;
