/**
 * Runs HTTP/1.1 exchanges over connections that the host manages itself.
 *
 * <p>Armeria's client does not show which connection a response came on, but a host needs it: a
 * connection that delivered bytes that belong to no request must not be reused, closing a
 * connection cancels the target's work, and a target bounds its connections. Exchanges therefore
 * use Netty's HTTP codec directly, the one that Armeria itself uses.
 */
@NullMarked
package org.cowslipmoor.daemon.http;

import org.jspecify.annotations.NullMarked;
