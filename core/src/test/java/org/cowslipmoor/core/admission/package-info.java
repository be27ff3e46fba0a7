/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.core.admission;

import org.jspecify.annotations.NullUnmarked;
