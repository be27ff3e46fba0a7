/** Forwards callers' requests to targets by the configured routes. */
@NullMarked
package org.cowslipmoor.daemon.gateway;

import org.jspecify.annotations.NullMarked;
