/** What the hosts tell each other about load and the shared store, by way of the coordinator. */
@NullMarked
package org.cowslipmoor.core.fleet;

import org.jspecify.annotations.NullMarked;
