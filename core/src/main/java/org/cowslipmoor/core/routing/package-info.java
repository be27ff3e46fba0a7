/** Routing of callers' requests to services, by the newest accepted configuration. */
@NullMarked
package org.cowslipmoor.core.routing;

import org.jspecify.annotations.NullMarked;
