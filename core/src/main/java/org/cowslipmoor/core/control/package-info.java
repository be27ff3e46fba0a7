/**
 * The control decisions of one entry host: leadership, attestation, grants and the distribution of
 * state.
 */
@NullMarked
package org.cowslipmoor.core.control;

import org.jspecify.annotations.NullMarked;
