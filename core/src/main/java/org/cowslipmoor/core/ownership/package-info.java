/** The mapping of keys to shards, the ownership table of a data centre and its planner. */
@NullMarked
package org.cowslipmoor.core.ownership;

import org.jspecify.annotations.NullMarked;
