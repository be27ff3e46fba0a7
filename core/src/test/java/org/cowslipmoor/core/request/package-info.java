/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.core.request;

import org.jspecify.annotations.NullUnmarked;
