/**
 * A stand-in for a target, with fenced grants, slots, a queue, faults, and a record of the requests
 * run.
 */
@NullMarked
package org.cowslipmoor.testing.target;

import org.jspecify.annotations.NullMarked;
