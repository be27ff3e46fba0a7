/** The operators' command-line tool. */
@NullMarked
package org.cowslipmoor.tool;

import org.jspecify.annotations.NullMarked;
