/** The settings of a host, and which of them are in force while the settings file changes. */
@NullMarked
package org.cowslipmoor.daemon.settings;

import org.jspecify.annotations.NullMarked;
