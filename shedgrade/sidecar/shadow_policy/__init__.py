"""Shadow policy: counts where other settings would have decided otherwise than those in use."""
