package org.cowslipmoor.daemon.codec;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Adapts the futures of generated stubs. */
public final class GrpcFutures {
  private GrpcFutures() {}

  /** Returns a {@link CompletableFuture} that completes like the given future. */
  public static <T> CompletableFuture<T> adapt(ListenableFuture<T> future) {
    CompletableFuture<T> result = new CompletableFuture<>();
    Futures.addCallback(
        future,
        new FutureCallback<T>() {
          @Override
          public void onSuccess(@Nullable T value) {
            result.complete(value);
          }

          @Override
          public void onFailure(Throwable cause) {
            result.completeExceptionally(cause);
          }
        },
        MoreExecutors.directExecutor());
    return result;
  }
}
