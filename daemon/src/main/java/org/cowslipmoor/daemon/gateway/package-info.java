/** The way of a caller's request through a host that routes by configuration. */
@NullMarked
package org.cowslipmoor.daemon.gateway;

import org.jspecify.annotations.NullMarked;
