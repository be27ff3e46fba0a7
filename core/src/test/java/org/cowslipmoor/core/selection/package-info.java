/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.core.selection;

import org.jspecify.annotations.NullUnmarked;
