/** Registered targets: their identities, addresses and whether they are draining. */
@NullMarked
package org.cowslipmoor.core.discovery;

import org.jspecify.annotations.NullMarked;
