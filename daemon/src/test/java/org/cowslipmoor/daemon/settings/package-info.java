/** Tests of the package. */
@NullUnmarked
package org.cowslipmoor.daemon.settings;

import org.jspecify.annotations.NullUnmarked;
