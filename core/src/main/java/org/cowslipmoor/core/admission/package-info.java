/**
 * Load balancing over targets, and immediate rejection of requests that can't be served in time.
 */
@NullMarked
package org.cowslipmoor.core.admission;

import org.jspecify.annotations.NullMarked;
