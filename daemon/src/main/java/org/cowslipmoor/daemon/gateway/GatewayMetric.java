package org.cowslipmoor.daemon.gateway;

/** The metrics that a host exposes. */
enum GatewayMetric {
  REQUESTS("cowslipmoor_requests_total", "Requests taken from callers."),
  ANSWERS("cowslipmoor_answers_total", "Answers of targets passed on to their end."),
  ANSWERS_CUT("cowslipmoor_answers_cut_total", "Answers that broke off on their way."),
  ANSWERS_ABORTED(
      "cowslipmoor_answers_aborted_total", "Requests that ended without a complete answer."),
  TARGET_REJECTIONS("cowslipmoor_target_rejections_total", "Requests that targets rejected."),
  SURPLUS_ANSWERS(
      "cowslipmoor_surplus_answers_total", "Answers of targets to no pending request, skipped."),
  UNEXPECTED_BYTES(
      "cowslipmoor_unexpected_bytes_total", "Connections closed for bytes of no pending answer."),
  RETRIES("cowslipmoor_retries_total", "Requests sent once more."),
  REFUSALS("cowslipmoor_refusals_total", "Requests refused, by result code."),
  CALLERS_GONE("cowslipmoor_callers_gone_total", "Callers that left before their answer."),
  CANCELLED_BEHIND_CLOSE(
      "cowslipmoor_cancelled_behind_close_total",
      "Requests cancelled behind an answer that closes the connection."),
  LEAVING("cowslipmoor_leaving_total", "Targets that stated that they are leaving."),
  SENT_TO_LEAVING(
      "cowslipmoor_sent_to_leaving_total", "Requests sent to targets after that statement."),
  SENT_TO_LEAVING_SECONDS(
      "cowslipmoor_sent_to_leaving_seconds", "Time from that statement to such a request."),
  EVACUATIONS("cowslipmoor_evacuations", "Data centres that are evacuated."),
  EVACUATION_SECONDS(
      "cowslipmoor_evacuation_seconds", "Time since the host learnt of the oldest evacuation."),
  EVACUATED_KEYS("cowslipmoor_evacuated_keys", "Keys whose owners are in evacuated data centres."),
  EVACUATION_REFUSALS(
      "cowslipmoor_evacuation_refusals_total", "Requests refused because of an evacuation."),
  ALLOWANCES_ASKED(
      "cowslipmoor_allowances_asked_total", "Requests to cold targets that this host asked for."),
  ALLOWANCES_HANDED_OUT(
      "cowslipmoor_allowances_handed_out_total",
      "Requests to cold targets that this host allowed as coordinator."),
  ALLOWANCES_DENIED(
      "cowslipmoor_allowances_denied_total",
      "Requests to cold targets that this host did not allow as coordinator."),
  ALLOWANCE_WAITS(
      "cowslipmoor_allowance_waits_total", "Requests that waited because the key's owner is cold."),
  ALLOWANCE_REJECTIONS(
      "cowslipmoor_allowance_rejections_total",
      "Requests refused because only cold targets were left."),
  ANSWER_SECONDS("cowslipmoor_answer_seconds", "Time from a request to its answer's end."),
  IN_PROGRESS("cowslipmoor_requests_in_progress", "Requests in progress."),
  CONFIGURATION("cowslipmoor_configuration_version", "Version of the configuration in force."),
  RANGE_TABLE("cowslipmoor_range_table_version", "Version of the table of key ranges in force."),
  BODY_MEMORY("cowslipmoor_body_memory_bytes", "Memory reserved for the bodies of requests."),
  SETTINGS_AGE("cowslipmoor_settings_age_seconds", "Time since the settings are in force."),
  SETTINGS_REJECTED("cowslipmoor_settings_rejected_total", "Settings files that were rejected."),
  SETTINGS_CONTENT("cowslipmoor_settings_content", "Hash of the settings file in force."),
  SETTINGS_PENDING("cowslipmoor_settings_pending", "Changed settings that wait for a restart."),
  TARGETS("cowslipmoor_targets", "Targets that are known."),
  FAILING_TARGETS(
      "cowslipmoor_failing_targets", "Targets that the coordinator publishes as failing."),
  COLD_TARGETS("cowslipmoor_cold_targets", "Targets known to be cold whose service limits them."),
  UNKEYED_PLACED(
      "cowslipmoor_unkeyed_placed_total",
      "Requests without a key that were assigned to a target, by service.",
      "service"),
  SPILLOVER_SATURATED(
      "cowslipmoor_spillover_saturated_total",
      "Those of them that left the data centre since its targets are loaded, by service.",
      "service"),
  SPILLOVER_NONE_USABLE(
      "cowslipmoor_spillover_none_usable_total",
      "Those of them that left the data centre since it has no usable target, by service.",
      "service"),
  SPILLOVER_BYTES(
      "cowslipmoor_spillover_bytes_total",
      "Response bytes from other data centres to requests without a key, by service.",
      "service"),
  COORDINATOR("cowslipmoor_coordinator", "Whether this host coordinates: 1 or 0."),
  STORE_ERA("cowslipmoor_store_era", "Era of the store; 0 if it names none."),
  RESTORATIONS(
      "cowslipmoor_restorations_total", "Tables that this host restored for a store come back."),
  KEYS_HELD_SECONDS(
      "cowslipmoor_keys_held_seconds",
      "Time for which keys still can't move after a restoration by this host.");

  private static final String DEFAULT_LABEL = "code";

  private final String exposedName;
  private final String help;
  private final String label;

  GatewayMetric(String exposedName, String help) {
    this(exposedName, help, DEFAULT_LABEL);
  }

  GatewayMetric(String exposedName, String help, String label) {
    this.exposedName = exposedName;
    this.help = help;
    this.label = label;
  }

  /** Returns the name of the label that distinguishes the counters of the metric, if it has any. */
  String label() {
    return label;
  }

  /** Returns the name under which the metric is exposed. */
  String exposedName() {
    return exposedName;
  }

  /** Returns the description of the metric, in one line. */
  String help() {
    return help;
  }
}
