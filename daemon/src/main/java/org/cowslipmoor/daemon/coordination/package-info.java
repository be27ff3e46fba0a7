/** The part of a host that shares state with the other hosts and coordinates the key ranges. */
@NullMarked
package org.cowslipmoor.daemon.coordination;

import org.jspecify.annotations.NullMarked;
