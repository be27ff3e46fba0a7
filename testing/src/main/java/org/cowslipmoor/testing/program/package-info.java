/** A program that runs the stand-ins as separate processes, and a load that checks responses. */
@NullMarked
package org.cowslipmoor.testing.program;

import org.jspecify.annotations.NullMarked;
