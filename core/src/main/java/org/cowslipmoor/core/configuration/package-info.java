/** The operators' configuration of a setup and the rules for changing it. */
@NullMarked
package org.cowslipmoor.core.configuration;

import org.jspecify.annotations.NullMarked;
