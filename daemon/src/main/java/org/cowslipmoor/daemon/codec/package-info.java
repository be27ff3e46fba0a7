/** Converts between the schema's messages and the core's records. */
@NullMarked
package org.cowslipmoor.daemon.codec;

import org.jspecify.annotations.NullMarked;
