/**
 * Decides which target may get a request, now, and at what cost. What is known of targets that
 * drain, leave or are overloaded comes together here; no other part combines it.
 */
@NullMarked
package org.cowslipmoor.core.selection;

import org.jspecify.annotations.NullMarked;
