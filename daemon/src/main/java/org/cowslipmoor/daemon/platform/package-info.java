/** Clients of the platform's key-value service. */
@NullMarked
package org.cowslipmoor.daemon.platform;

import org.jspecify.annotations.NullMarked;
