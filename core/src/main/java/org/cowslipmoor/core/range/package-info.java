/**
 * Ownership of ordered key ranges: which target holds which keys, and how keys change hands.
 *
 * <p>One coordinator at a time decides. What it decided lies in the platform's store as one {@link
 * org.cowslipmoor.core.range.RangeTable}, changed by compare-and-swap; targets hold their ranges by
 * fenced grants that lapse unless they are renewed.
 */
@NullMarked
package org.cowslipmoor.core.range;

import org.jspecify.annotations.NullMarked;
