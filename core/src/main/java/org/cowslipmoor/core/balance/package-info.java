/** Load-balancing policies and outlier detection for targets. */
@NullMarked
package org.cowslipmoor.core.balance;

import org.jspecify.annotations.NullMarked;
