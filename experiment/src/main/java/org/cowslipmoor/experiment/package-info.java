/** Experiments with the decision code in virtual time, and measurements of its cost. */
@NullMarked
package org.cowslipmoor.experiment;

import org.jspecify.annotations.NullMarked;
