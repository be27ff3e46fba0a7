/** The daemon of an entry host: its settings, its startup and its control loop. */
@NullMarked
package org.cowslipmoor.daemon;

import org.jspecify.annotations.NullMarked;
