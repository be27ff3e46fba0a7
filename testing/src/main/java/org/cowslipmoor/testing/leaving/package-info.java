/** Simulates targets that leave, and how the hosts of a fleet learn of it. */
@NullMarked
package org.cowslipmoor.testing.leaving;

import org.jspecify.annotations.NullMarked;
