/**
 * Ownership of ordered key ranges: which target owns which keys, and how keys are transferred
 * between targets.
 *
 * <p>One coordinator at a time decides. Its decisions are stored in the platform's store as one
 * {@link org.cowslipmoor.core.range.RangeTable}, which is changed by compare-and-swap. Targets hold
 * their ranges by fenced grants that expire unless they are renewed.
 */
@NullMarked
package org.cowslipmoor.core.range;

import org.jspecify.annotations.NullMarked;
