/** Serves callers over HTTP. */
@NullMarked
package org.cowslipmoor.daemon.caller;

import org.jspecify.annotations.NullMarked;
