/** Connects a host to the other members. */
@NullMarked
package org.cowslipmoor.daemon.member;

import org.jspecify.annotations.NullMarked;
