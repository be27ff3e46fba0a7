/** Targets as they announce themselves: who they are, where, and whether they are leaving. */
@NullMarked
package org.cowslipmoor.core.discovery;

import org.jspecify.annotations.NullMarked;
