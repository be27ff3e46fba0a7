/** Renews the grants of targets, sends requests to them and limits those requests. */
@NullMarked
package org.cowslipmoor.daemon.target;

import org.jspecify.annotations.NullMarked;
