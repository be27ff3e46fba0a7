/** Limits on the rate of requests to targets that are cold: allowances of the coordinator. */
@NullMarked
package org.cowslipmoor.core.coldstart;

import org.jspecify.annotations.NullMarked;
