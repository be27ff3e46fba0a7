/**
 * Simulates in virtual time how the hosts of a fleet place requests on targets: targets with slots
 * and bounded queues, and hosts that see the load of the other hosts late.
 */
@NullMarked
package org.cowslipmoor.testing.placement;

import org.jspecify.annotations.NullMarked;
