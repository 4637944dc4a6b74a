"""Bounds of the operators' pages, as the soak writes them into the hosts' settings."""

STABILITY_WINDOW_S = 3.0
DRAIN_S = 2.0
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
CONFIGURATION_APPLY_S = 2.0
REVOCATION_S = 5.0
RECOVERY_S = 12.0
HEARTBEAT_S = 1.2
ADDRESS_REUSE_S = 2.0
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0

LINES = f"""\
HeartbeatMs={HEARTBEAT_S * 1e3:.0f}
Bounds.ReuseAfterS={ADDRESS_REUSE_S:.0f}
Bounds.StabilityWindowMs={STABILITY_WINDOW_S * 1e3:.0f}
Bounds.DrainMs={DRAIN_S * 1e3:.0f}
Bounds.GracePeriodS={GRACE_S:.0f}
Bounds.LossSlackMs={LOSS_SLACK_S * 1e3:.0f}
Bounds.ConfigApplyMs={CONFIGURATION_APPLY_S * 1e3:.0f}
Bounds.StrictRevocation=true
Bounds.RevokeMs={REVOCATION_S * 1e3:.0f}
Bounds.RetryBudgetRatio={RETRY_RATIO}
Bounds.RetryWindowS={RETRY_WINDOW_S:.0f}
Bounds.RecoveryS={RECOVERY_S:.0f}
"""
