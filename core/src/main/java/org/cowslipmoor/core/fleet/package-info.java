/** Load reports, fleet state and store updates that hosts exchange through the coordinator. */
@NullMarked
package org.cowslipmoor.core.fleet;

import org.jspecify.annotations.NullMarked;
