package cmd

import (
	"io"

	"github.com/spf13/cobra"
)

func (c *Config) newCompletionCmd() *cobra.Command {
	shells := map[string]func(*cobra.Command, io.Writer) error{
		"bash":       func(root *cobra.Command, w io.Writer) error { return root.GenBashCompletionV2(w, true) },
		"fish":       func(root *cobra.Command, w io.Writer) error { return root.GenFishCompletion(w, true) },
		"powershell": func(root *cobra.Command, w io.Writer) error { return root.GenPowerShellCompletionWithDesc(w) },
		"zsh":        func(root *cobra.Command, w io.Writer) error { return root.GenZshCompletion(w) },
	}
	return &cobra.Command{
		Use:       "completion bash|fish|powershell|zsh",
		Short:     "Print the script that completes commands and flags in a shell",
		Example:   "  source <(catkingap completion bash)",
		ValidArgs: []string{"bash", "fish", "powershell", "zsh"},
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		RunE: func(command *cobra.Command, args []string) error {
			return shells[args[0]](command.Root(), c.stdout)
		},
	}
}
