/**
 * Simulation of hosts' control logic in virtual time, with fault injection and invariant checks.
 */
@NullMarked
package org.cowslipmoor.testing.control;

import org.jspecify.annotations.NullMarked;
