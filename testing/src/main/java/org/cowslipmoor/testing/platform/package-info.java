/**
 * A minimal stand-in for the platform's key-value service and host list, for tests and
 * demonstrations.
 */
@NullMarked
package org.cowslipmoor.testing.platform;

import org.jspecify.annotations.NullMarked;
