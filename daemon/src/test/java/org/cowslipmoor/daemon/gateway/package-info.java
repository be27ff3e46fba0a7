/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.daemon.gateway;

import org.jspecify.annotations.NullUnmarked;
