/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.daemon.http;

import org.jspecify.annotations.NullUnmarked;
