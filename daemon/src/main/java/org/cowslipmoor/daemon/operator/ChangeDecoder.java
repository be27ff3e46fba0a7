package org.cowslipmoor.daemon.operator;

import org.cowslipmoor.core.configuration.ConfigurationChange;
import org.cowslipmoor.daemon.codec.ConfigurationCodec;
import org.cowslipmoor.schema.operator.ChangeRequest;

/** Decodes the change in an operator's request. */
final class ChangeDecoder {
  private ChangeDecoder() {}

  /**
   * Returns the requested change.
   *
   * @throws IllegalArgumentException if the request contains no change or a part is malformed
   */
  static ConfigurationChange decode(ChangeRequest r) {
    return switch (r.getChangeCase()) {
      case REPLACE -> new ConfigurationChange.Replace(ConfigurationCodec.decode(r.getReplace()));
      case ADD_MEMBER ->
          new ConfigurationChange.AddMember(
              ConfigurationCodec.decodeMember(r.getAddMember().getMember()));
      case REMOVE_MEMBER -> new ConfigurationChange.RemoveMember(r.getRemoveMember().getId());
      case PUT_SERVICE ->
          new ConfigurationChange.PutService(
              ConfigurationCodec.decodeService(r.getPutService().getService()));
      case REMOVE_SERVICE -> new ConfigurationChange.RemoveService(r.getRemoveService().getName());
      case ADD_TARGET ->
          new ConfigurationChange.AddTarget(
              r.getAddTarget().getService(),
              ConfigurationCodec.decodeTarget(r.getAddTarget().getTarget()));
      case DRAIN_TARGET ->
          new ConfigurationChange.DrainTarget(
              r.getDrainTarget().getService(),
              r.getDrainTarget().getId(),
              !r.getDrainTarget().getUndo());
      case REMOVE_TARGET ->
          new ConfigurationChange.RemoveTarget(
              r.getRemoveTarget().getService(), r.getRemoveTarget().getId());
      case CHANGE_NOT_SET -> throw new IllegalArgumentException("the request contains no change");
    };
  }
}
