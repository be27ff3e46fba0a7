/** Routes of callers' requests to services, as the newest accepted configuration states them. */
@NullMarked
package org.cowslipmoor.core.routing;

import org.jspecify.annotations.NullMarked;
