/** Shares state between hosts, and coordinates the ownership of key ranges. */
@NullMarked
package org.cowslipmoor.daemon.coordination;

import org.jspecify.annotations.NullMarked;
