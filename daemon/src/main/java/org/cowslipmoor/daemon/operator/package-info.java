/** Serves operators: the gRPC service, metrics and state dumps. */
@NullMarked
package org.cowslipmoor.daemon.operator;

import org.jspecify.annotations.NullMarked;
