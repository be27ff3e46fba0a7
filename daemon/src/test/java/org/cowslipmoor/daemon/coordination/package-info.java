/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.daemon.coordination;

import org.jspecify.annotations.NullUnmarked;
