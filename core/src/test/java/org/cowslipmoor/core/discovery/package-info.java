/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.core.discovery;

import org.jspecify.annotations.NullUnmarked;
