/** Choice of a target for each request, and refusal at once of what can't be served in time. */
@NullMarked
package org.cowslipmoor.core.admission;

import org.jspecify.annotations.NullMarked;
