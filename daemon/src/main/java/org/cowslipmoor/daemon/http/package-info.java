/**
 * HTTP/1.1 exchanges over connections of the host's own.
 *
 * <p>Armeria's client hides which connection an answer came on. A host has to know: a connection
 * that delivered bytes of no request must not be used again, closing one cancels the target's work,
 * and a target bounds its connections. So exchanges run on the codec that Armeria itself uses.
 */
@NullMarked
package org.cowslipmoor.daemon.http;

import org.jspecify.annotations.NullMarked;
