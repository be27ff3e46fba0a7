/** Concurrency limits per target, and queues of requests that wait for capacity. */
@NullMarked
package org.cowslipmoor.core.limit;

import org.jspecify.annotations.NullMarked;
