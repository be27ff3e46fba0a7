/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.daemon.codec;

import org.jspecify.annotations.NullUnmarked;
