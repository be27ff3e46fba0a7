package org.cowslipmoor.core.configuration;

/** Priority of requests when demand exceeds a target's capacity, from highest to lowest. */
public enum Priority {
  URGENT,
  NORMAL,
  BULK
}
