/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.core.routing;

import org.jspecify.annotations.NullUnmarked;
